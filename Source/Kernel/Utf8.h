#ifndef ANVIL_KERNEL_UTF8_H
#define ANVIL_KERNEL_UTF8_H

#include <string_view>

namespace anvil {

/// Whether the bytes are UTF-8 text. Other bytes can't be part of JSON.
bool isUtf8(std::string_view Bytes);

} // namespace anvil

#endif // ANVIL_KERNEL_UTF8_H
