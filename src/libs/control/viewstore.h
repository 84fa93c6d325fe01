#pragma once

#include "config/document.h"
#include "config/instancelist.h"
#include "routing/fleetview.h"
#include "telemetry/eventlog.h"

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Messages {
class ViewReply;
class ViewRequest;
}

namespace Control {

/** What a process has of the fleet's view. */
struct ViewState
{
  std::uint64_t revision = 0;
  std::string digest;
  std::uint64_t listIndex = 0;
  std::string listDigest;
  /** Null before the first document. */
  Routing::FleetViewPointer view;
};

/**
 * The newest document and instance list that this process was offered by
 * anybody. A document comes into force whole or not at all, a newer revision
 * always wins, and nothing ever goes back. Any thread may use it.
 */
class ViewStore
{
public:
  explicit ViewStore(Telemetry::EventLog& aEvents);
  ~ViewStore();
  ViewStore(const ViewStore&) = delete;
  ViewStore& operator=(const ViewStore&) = delete;

  /**
   * Checks a document, which may be compressed, and puts it in force when it is
   * newer. An older one is left aside without an error, since a source may lag;
   * a faulty one, or another content under the revision in force, is an error.
   */
  absl::Status offerDocument(const std::string& aValue,
                             const std::string& aSource);

  /** Takes a list with a higher index over. */
  absl::Status offerInstanceList(const std::string& aValue,
                                 std::uint64_t aIndex,
                                 const std::string& aSource);

  /** A source that may know better has nothing newer. */
  void confirm();

  ViewState state() const;
  Config::InstanceList instances() const;
  /** Grows when a view comes into force; cheap to read. */
  std::uint64_t generation() const;
  /** Grows with every confirmation; cheap to read. */
  std::uint64_t confirmations() const;

  /** Time since the last confirmation, or since the start. */
  std::chrono::milliseconds sinceConfirmed() const;

  /** Answers a peer with what it lacks. */
  Messages::ViewReply answer(const Messages::ViewRequest& aRequest) const;
  /** Takes over what a peer answered. */
  absl::Status accept(const Messages::ViewReply& aReply);

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Control
