#include "Serving/FleetTopology.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace anvil;

/// The VMs of a fleet with their data centres, without `Self`.
static std::map<std::string, std::string>
othersThan(const std::string &Self, std::size_t DataCentres,
           std::size_t VmsPerDataCentre) {
  std::map<std::string, std::string> Others;
  for (std::size_t Dc = 0; Dc < DataCentres; ++Dc)
    for (std::size_t Vm = 0; Vm < VmsPerDataCentre; ++Vm) {
      std::string Name = "vm-" + std::to_string(Dc) + "-" + std::to_string(Vm);
      if (Name != Self)
        Others[Name] = "dc-" + std::to_string(Dc);
    }
  return Others;
}

static FleetTopology topologyOf(const std::string &Vm,
                                const std::string &DataCentre,
                                std::size_t DataCentres,
                                std::size_t VmsPerDataCentre) {
  FleetTopology Topology(Vm, DataCentre);
  Topology.setVms(othersThan(Vm, DataCentres, VmsPerDataCentre));
  return Topology;
}

TEST_CASE("the message paths of a fleet", "[fleet][layout]") {
  SECTION("in a small fleet all VMs exchange messages directly") {
    FleetTopology Topology = topologyOf("vm-0-0", "dc-0", 4, 2);
    CHECK_FALSE(Topology.isSplit());
    CHECK(Topology.directPeers().size() == 7);
    CHECK(Topology.hopsToRemoteDataCentres(400, 0.5).empty());
    CHECK(Topology.forwardTargets(20).empty());
  }
  SECTION("in a large fleet") {
    FleetTopology Topology = topologyOf("vm-0-0", "dc-0", 5, 39);
    REQUIRE(Topology.isSplit());
    SECTION("updates go to the VMs of the data centre") {
      CHECK(Topology.directPeers().size() == 38);
    }
    SECTION("a small message takes one datagram for each other data centre") {
      CHECK(Topology.hopsToRemoteDataCentres(400, 0.3).size() == 4);
    }
    SECTION("a large one is forwarded by several VMs, about 64 KB by each") {
      for (const ForwardingHop &Hop :
           Topology.hopsToRemoteDataCentres(8000, 0.3))
        CHECK(Hop.Forwards_ <= 8);
      CHECK(Topology.hopsToRemoteDataCentres(8000, 0.3).size() == 4 * 5);
    }
  }
  SECTION("a large message to the peers reaches each of them once") {
    rc::prop("for any size of fleet and message", [] {
      auto Vms = *rc::gen::inRange<std::size_t>(1, 70);
      auto Bytes = *rc::gen::inRange<std::size_t>(0, 60000);
      std::string Self =
          "vm-0-" + std::to_string(*rc::gen::inRange<std::size_t>(0, Vms));
      std::multiset<std::string> Reached;
      for (const ForwardingHop &Hop :
           topologyOf(Self, "dc-0", 2, Vms).hopsToPeers(Bytes)) {
        Reached.insert(Hop.Vm_);
        for (const std::string &Vm :
             topologyOf(Hop.Vm_, "dc-0", 2, Vms).forwardTargets(Hop.Forwards_))
          Reached.insert(Vm);
      }
      std::size_t All = 2 * Vms <= 16 ? 2 * Vms - 1 : Vms - 1;
      RC_ASSERT(Reached.size() == All);
      RC_ASSERT(!Reached.contains(Self));
      RC_ASSERT(std::set<std::string>(Reached.begin(), Reached.end()).size() ==
                All);
    });
  }
  SECTION(
      "a message to remote data centres reaches each VM there exactly once, "
      "whichever VMs forward it") {
    rc::prop("for any size of fleet, message and choice", [] {
      auto DataCentres = *rc::gen::inRange<std::size_t>(2, 7);
      auto Vms = *rc::gen::inRange<std::size_t>(9, 70);
      auto Bytes = *rc::gen::inRange<std::size_t>(0, 60000);
      double Random = *rc::gen::inRange(0, 1000) / 1000.0;
      FleetTopology Sender = topologyOf("vm-0-0", "dc-0", DataCentres, Vms);
      std::multiset<std::string> Reached;
      for (const ForwardingHop &Hop :
           Sender.hopsToRemoteDataCentres(Bytes, Random)) {
        std::string DataCentre = "dc-" + Hop.Vm_.substr(3, 1);
        Reached.insert(Hop.Vm_);
        for (const std::string &Vm :
             topologyOf(Hop.Vm_, DataCentre, DataCentres, Vms)
                 .forwardTargets(Hop.Forwards_))
          Reached.insert(Vm);
      }
      RC_ASSERT(Reached.size() == (DataCentres - 1) * Vms);
      RC_ASSERT(std::set<std::string>(Reached.begin(), Reached.end()).size() ==
                Reached.size());
    });
  }
}
