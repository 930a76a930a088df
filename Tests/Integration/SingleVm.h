#ifndef ANVIL_TESTS_INTEGRATION_SINGLEVM_H
#define ANVIL_TESTS_INTEGRATION_SINGLEVM_H

#include "Integration/CallerConnection.h"

#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// The two modes of `anvild`.
enum class VmMode { Entry, Standalone };

/// One VM whose lives all have the same ports, with its store or platform and a
/// proxy before that.
class SingleVm {
public:
  explicit SingleVm(VmMode Mode);
  ~SingleVm();
  SingleVm(const SingleVm &) = delete;
  SingleVm &operator=(const SingleVm &) = delete;

  /// Starts the VM; an earlier life that still runs is not waited for.
  std::unique_ptr<Process> start(ProcessStart Options = {});

  /// Changes fields of the settings for later starts.
  void change(const nlohmann::json &Patch);

  /// Makes the settings file a pipe, so that a VM that starts waits there for
  /// `writeSettings`, which puts the file back.
  void holdSettings();
  void writeSettings();

  /// Replaces the text of the settings file.
  void writeSettingsText(const std::string &Text) const;

  /// Leads the VM's connections to the store elsewhere, or changes how they
  /// are faulty.
  void setStore(const nlohmann::json &Change);
  std::uint16_t storePort() const { return Store_->port(); }
  void controlStore(const nlohmann::json &Change);

  /// Whether the VM says that it is ready.
  bool isReady() const;

  /// Whether the VM accepts connections at its port of this name.
  bool isOpen(const std::string &Name) const;

  /// The address on which the VM listens, and its port of this name.
  const std::string &address() const { return Address_; }
  std::uint16_t port(const std::string &Name) const { return Ports_.at(Name); }

  const std::string &directory() const { return Directory_; }

private:
  nlohmann::json settings() const;

  VmMode Mode_;
  std::string Directory_;
  std::string Address_;
  std::string Path_;
  std::map<std::string, std::uint16_t> Ports_;
  nlohmann::json Patch_ = nlohmann::json::object();
  std::unique_ptr<Process> Store_;
  std::unique_ptr<Process> Proxy_;
};

/// A socket that holds an address until it is destroyed.
class HeldAddress {
public:
  /// `Kind` is SOCK_STREAM or SOCK_DGRAM; port 0 lets the system choose one.
  HeldAddress(const std::string &Address, std::uint16_t Port, int Kind);
  ~HeldAddress();
  HeldAddress(const HeldAddress &) = delete;
  HeldAddress &operator=(const HeldAddress &) = delete;

  std::uint16_t port() const;

private:
  int Socket_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_SINGLEVM_H
