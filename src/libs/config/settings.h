#pragma once

#include "config/diagnostic.h"
#include "core/endpoint.h"

#include <array>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace Config {

/** Key of the flow hash; the same in all processes of an environment. */
using FlowHashKey = std::array<unsigned char, 16>;

struct LogSettings
{
  std::string level = "info";
  /** True if each log line is a JSON object. */
  bool json = false;
};

/** Settings that balancers and agents have in common. */
struct CommonSettings
{
  std::string name;
  /** Name of the document to watch in the configuration service. */
  std::string environment;
  std::string zone;
  /** Receives packets (UDP). */
  Core::Endpoint data;
  /** Serves views to other lacewingspread processes. */
  Core::Endpoint control;
  /** Serves the status pages (HTTP). */
  Core::Endpoint status;
  Core::Endpoint configurationService;
  /** Control endpoints to request a view from if there is no instance list. */
  std::vector<Core::Endpoint> seeds;
  FlowHashKey flowHashKey{};
  LogSettings log;
};

struct BalancerSettings
{
  CommonSettings common;
  /** Time for which a stopping balancer continues to forward packets. */
  std::chrono::milliseconds stopDelay{ 0 };
};

struct AgentSettings
{
  CommonSettings common;
  /** Where the backend server receives packets. */
  Core::Endpoint backendServer;
  /** Where this agent receives the backend server's packets. */
  Core::Endpoint backendPort;
  /** Next hop for packets to callers. */
  Core::Endpoint gateway;
};

/** The settings, or all errors found in the text. */
std::variant<BalancerSettings, Diagnostics>
parseBalancerSettings(const std::string& aFile, const std::string& aText);

std::variant<AgentSettings, Diagnostics>
parseAgentSettings(const std::string& aFile, const std::string& aText);

} // namespace Config
