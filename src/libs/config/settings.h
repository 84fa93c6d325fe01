#pragma once

#include "config/diagnostic.h"
#include "core/endpoint.h"

#include <array>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace Config {

/** The key of the flow hash, the same on every process of an environment. */
using FlowHashKey = std::array<unsigned char, 16>;

struct LogSettings
{
  std::string level = "info";
  /** True for one JSON object a line. */
  bool json = false;
};

/** What both roles are told at start. */
struct CommonSettings
{
  std::string name;
  /** Names the document to follow in the configuration service. */
  std::string environment;
  std::string zone;
  Core::Endpoint data;
  Core::Endpoint control;
  Core::Endpoint status;
  Core::Endpoint configurationService;
  /** Control endpoints to ask for a view while there is no instance list. */
  std::vector<Core::Endpoint> seeds;
  FlowHashKey flowHashKey{};
  LogSettings log;
};

struct BalancerSettings
{
  CommonSettings common;
  /** How long a stopping balancer goes on forwarding. */
  std::chrono::milliseconds stopDelay{ 0 };
};

struct AgentSettings
{
  CommonSettings common;
  /** Where the backend server takes packets. */
  Core::Endpoint backendServer;
  /** Where this agent takes the backend server's packets. */
  Core::Endpoint backendPort;
  /** Where packets to callers go. */
  Core::Endpoint gateway;
};

/** Settings, or every fault found in the text. */
std::variant<BalancerSettings, Diagnostics>
parseBalancerSettings(const std::string& aFile, const std::string& aText);

std::variant<AgentSettings, Diagnostics>
parseAgentSettings(const std::string& aFile, const std::string& aText);

} // namespace Config
