#include "control/viewstore.h"

#include "compression/textcodec.h"
#include "compression/texthistory.h"
#include "config/documentparser.h"
#include "config/evacuationchanges.h"
#include "core/errorcontext.h"
#include "messages/peermessages.pb.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <mutex>
#include <utility>

namespace Control {

namespace {

/** Decodes a text that was sent in full or as a delta; checks its digest. */
absl::StatusOr<std::string>
decodeText(const Compression::TextHistory& aHistory,
           const std::string& aData,
           const std::string& aBaseDigest,
           const std::string& aDigest)
{
  const auto* base = aHistory.find(aBaseDigest);
  auto text = Compression::decompressText(
    aData, base == nullptr ? absl::string_view() : *base);
  if (text.ok() && Config::digestOf(*text) != aDigest) {
    return absl::DataLossError("the text does not match its digest");
  }
  return text;
}

} // namespace

class ViewStore::Private
{
public:
  explicit Private(Telemetry::EventLog& aEvents)
    : events(aEvents)
  {
  }

  /** The caller must have locked the mutex. */
  void rebuildView()
  {
    if (document != nullptr) {
      view = std::make_shared<Routing::FleetView>(document, instances);
      ++generation;
    }
  }

  /** The caller must have locked the mutex. */
  void writeEvacuationChanges(const Config::Document* aBefore)
  {
    const auto changes = Config::findEvacuationChanges(aBefore, *document);
    for (const auto& zone : changes.evacuated) {
      events.write(
        Telemetry::Event::ZoneEvacuated,
        absl::StrCat(
          "zone ", zone.name, " since revision ", zone.sinceRevision));
    }
    for (const auto& zone : changes.returned) {
      events.write(
        Telemetry::Event::ZoneReturned,
        absl::StrCat("zone ", zone, " in revision ", document->revision));
    }
  }

  absl::StatusOr<std::string> decode(const Compression::TextHistory& aHistory,
                                     const std::string& aData,
                                     const std::string& aBaseDigest,
                                     const std::string& aDigest) const
  {
    const std::lock_guard lock(mutex);
    return decodeText(aHistory, aData, aBaseDigest, aDigest);
  }

  Telemetry::EventLog& events;
  mutable std::mutex mutex;
  std::shared_ptr<const Config::Document> document;
  Compression::TextHistory documentHistory;
  Compression::TextHistory listHistory;
  Config::InstanceList instances;
  std::string listDigest;
  std::uint64_t listIndex = 0;
  Routing::FleetViewPointer view;
  std::atomic<std::uint64_t> generation = 0;
  std::atomic<std::uint64_t> confirmationCount = 0;
  std::atomic<std::chrono::steady_clock::time_point> confirmedAt =
    std::chrono::steady_clock::now();
};

ViewStore::ViewStore(Telemetry::EventLog& aEvents)
  : d(std::make_unique<Private>(aEvents))
{
}

ViewStore::~ViewStore() = default;

absl::Status
ViewStore::updateDocument(const std::string& aData, const std::string& aSource)
{
  const auto reject = [&](const absl::Status& aStatus) {
    auto status =
      Core::withContext(aStatus, "check the received document", aSource);
    d->events.write(Telemetry::Event::ViewRefused, status.message());
    return status;
  };
  const auto text = Compression::decompressIfNeeded(aData);
  if (!text.ok()) {
    return reject(text.status());
  }
  auto parsed = Config::parseDocumentOrStatus(aSource, *text);
  if (!parsed.ok()) {
    return reject(parsed.status());
  }
  const std::lock_guard lock(d->mutex);
  const auto currentRevision =
    d->document == nullptr ? 0 : d->document->revision;
  if (parsed->revision < currentRevision) {
    return absl::OkStatus();
  }
  if (parsed->revision == currentRevision) {
    if (parsed->digest == d->document->digest) {
      return absl::OkStatus();
    }
    return reject(absl::FailedPreconditionError(
      absl::StrCat("revision ",
                   currentRevision,
                   " has digest ",
                   d->document->digest,
                   ", but was received with digest ",
                   parsed->digest)));
  }
  d->documentHistory.add(parsed->digest, *text);
  const auto before = std::exchange(
    d->document, std::make_shared<const Config::Document>(std::move(*parsed)));
  d->rebuildView();
  d->events.write(Telemetry::Event::ViewInForce,
                  absl::StrCat("revision ",
                               d->document->revision,
                               " digest ",
                               d->document->digest,
                               " from ",
                               aSource));
  d->writeEvacuationChanges(before.get());
  return absl::OkStatus();
}

absl::Status
ViewStore::updateInstanceList(const std::string& aData,
                              std::uint64_t aIndex,
                              const std::string& aSource)
{
  const auto text = Compression::decompressIfNeeded(aData);
  auto parsed = text.ok() ? Config::parseInstanceList(aSource, *text)
                          : absl::StatusOr<Config::InstanceList>(text.status());
  if (!parsed.ok()) {
    d->events.write(Telemetry::Event::InstanceListRefused,
                    parsed.status().message());
    return parsed.status();
  }
  const std::lock_guard lock(d->mutex);
  if (aIndex <= d->listIndex) {
    return absl::OkStatus();
  }
  d->listIndex = aIndex;
  d->listDigest = Config::digestOf(*text);
  d->listHistory.add(d->listDigest, *text);
  for (const auto& entry : parsed->unreadable) {
    d->events.write(Telemetry::Event::InstanceListRefused,
                    absl::StrCat("skipped an entry: ", entry.error));
    // The instance may run on, with open flows.
    const auto& known = d->instances.instances;
    const auto it =
      std::find_if(known.begin(), known.end(), [&](const auto& aInstance) {
        return aInstance.name == entry.name;
      });
    if (it != known.end()) {
      parsed->instances.push_back(*it);
    }
  }
  d->instances = std::move(*parsed);
  d->rebuildView();
  return absl::OkStatus();
}

void
ViewStore::confirm()
{
  ++d->confirmationCount;
  d->confirmedAt = std::chrono::steady_clock::now();
}

ViewState
ViewStore::state() const
{
  const std::lock_guard lock(d->mutex);
  ViewState state;
  state.listIndex = d->listIndex;
  state.listDigest = d->listDigest;
  state.view = d->view;
  if (d->document != nullptr) {
    state.revision = d->document->revision;
    state.digest = d->document->digest;
  }
  return state;
}

Config::InstanceList
ViewStore::instances() const
{
  const std::lock_guard lock(d->mutex);
  return d->instances;
}

std::uint64_t
ViewStore::generation() const
{
  return d->generation;
}

std::uint64_t
ViewStore::confirmationCount() const
{
  return d->confirmationCount;
}

std::chrono::milliseconds
ViewStore::timeSinceConfirmation() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - d->confirmedAt.load());
}

Messages::ViewReply
ViewStore::createReply(const Messages::ViewRequest& aRequest) const
{
  const std::lock_guard lock(d->mutex);
  Messages::ViewReply reply;
  if (d->document != nullptr) {
    reply.set_revision(d->document->revision);
    reply.set_digest(d->document->digest);
    if (d->document->revision > aRequest.revision()) {
      auto update = d->documentHistory.createUpdate(aRequest.digest());
      reply.set_document(std::move(update.data));
      reply.set_base_digest(std::move(update.baseDigest));
    }
  }
  reply.set_list_index(d->listIndex);
  reply.set_list_digest(d->listDigest);
  if (d->listIndex > aRequest.list_index()) {
    auto update = d->listHistory.createUpdate(aRequest.list_digest());
    reply.set_instance_list(std::move(update.data));
    reply.set_list_base_digest(std::move(update.baseDigest));
  }
  return reply;
}

absl::Status
ViewStore::applyReply(const Messages::ViewReply& aReply)
{
  if (!aReply.document().empty()) {
    const auto text = d->decode(d->documentHistory,
                                aReply.document(),
                                aReply.base_digest(),
                                aReply.digest());
    auto status =
      text.ok() ? updateDocument(*text, aReply.name()) : text.status();
    if (!status.ok()) {
      return status;
    }
  }
  if (!aReply.instance_list().empty()) {
    const auto text = d->decode(d->listHistory,
                                aReply.instance_list(),
                                aReply.list_base_digest(),
                                aReply.list_digest());
    auto status =
      text.ok() ? updateInstanceList(*text, aReply.list_index(), aReply.name())
                : text.status();
    if (!status.ok()) {
      return status;
    }
  }
  const auto current = state();
  if (aReply.revision() == current.revision &&
      aReply.digest() != current.digest) {
    const auto message = absl::StrCat("revision ",
                                      current.revision,
                                      " has digest ",
                                      current.digest,
                                      ", but at peer ",
                                      aReply.name(),
                                      " digest ",
                                      aReply.digest());
    d->events.write(Telemetry::Event::ViewRefused, message);
    return absl::FailedPreconditionError(message);
  }
  if (aReply.revision() <= current.revision) {
    confirm();
  }
  return absl::OkStatus();
}

} // namespace Control
