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

/** The current document and instance list, and the view that they make. */
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
 * Stores the newest configuration document and instance list that the process
 * received from any source, and the view that joins them. A document is used as
 * a whole or not at all. Only a document with a higher revision replaces the
 * current one, and only a list with a higher index replaces the current list.
 * Thread-safe.
 */
class ViewStore
{
public:
  explicit ViewStore(Telemetry::EventLog& aEvents);
  ~ViewStore();
  ViewStore(const ViewStore&) = delete;
  ViewStore& operator=(const ViewStore&) = delete;

  /**
   * Validates a document, which may be compressed, and uses it if it is newer.
   * An older document is ignored without an error, since a source may lag. An
   * invalid document is an error, and so is other content under the current
   * revision.
   */
  absl::Status updateDocument(const std::string& aData,
                              const std::string& aSource);

  /** Uses the list, which may be compressed, if its index is higher. */
  absl::Status updateInstanceList(const std::string& aData,
                                  std::uint64_t aIndex,
                                  const std::string& aSource);

  /** Records that a source was reached and has no newer document. */
  void confirm();

  ViewState state() const;
  Config::InstanceList instances() const;
  /** Increases with each new view; cheap to read. */
  std::uint64_t generation() const;
  /** Number of confirmations so far; cheap to read. */
  std::uint64_t confirmationCount() const;

  /** Time since the last confirmation, or since the start. */
  std::chrono::milliseconds timeSinceConfirmation() const;

  /** The reply to a peer, with the data that it lacks. */
  Messages::ViewReply createReply(const Messages::ViewRequest& aRequest) const;
  /**
   * Uses newer data of a peer's reply, or confirms the current document if the
   * peer has no newer one. A peer with other content under the current revision
   * is an error.
   */
  absl::Status applyReply(const Messages::ViewReply& aReply);

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Control
