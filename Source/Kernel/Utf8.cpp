#include "Kernel/Utf8.h"

#include <boost/locale/utf.hpp>

namespace anvil {

namespace utf = boost::locale::utf;

bool isUtf8(std::string_view Bytes) {
  const char *Next = Bytes.data();
  const char *End = Next + Bytes.size();
  while (Next != End)
    if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(Next, End)))
      return false;
  return true;
}

} // namespace anvil
