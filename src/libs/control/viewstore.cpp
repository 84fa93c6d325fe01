#include "control/viewstore.h"

#include "config/documentparser.h"
#include "control/textcodec.h"
#include "core/errorcontext.h"
#include "messages/peermessages.pb.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>

namespace Control {

namespace {

/** Earlier texts that differences can be made to. */
constexpr std::size_t kEarlierTexts = 4;

struct TextRevision
{
  std::string digest;
  std::string text;
};

} // namespace

class ViewStore::Private
{
public:
  explicit Private(Telemetry::EventLog& aEvents)
    : events(aEvents)
  {
  }

  /** The caller holds the mutex. */
  void rebuildView()
  {
    if (document != nullptr) {
      view = std::make_shared<Routing::FleetView>(document, instances);
      ++generation;
    }
  }

  void keepText(const std::string& aDigest, const std::string& aText)
  {
    texts.push_front({ aDigest, aText });
    if (texts.size() > kEarlierTexts) {
      texts.pop_back();
    }
    compressed.clear();
  }

  const std::string* findText(const std::string& aDigest) const
  {
    for (const auto& it : texts) {
      if (it.digest == aDigest) {
        return &it.text;
      }
    }
    return nullptr;
  }

  /** The newest text, as a difference to aBase when that is known. */
  const std::string& compressedFor(const std::string& aBaseDigest) const
  {
    const auto* base = findText(aBaseDigest);
    const auto key = base == nullptr ? std::string() : aBaseDigest;
    auto it = compressed.find(key);
    if (it == compressed.end()) {
      const auto data = compressText(
        texts.front().text, base == nullptr ? absl::string_view() : *base);
      it = compressed.emplace(key, data.ok() ? *data : std::string()).first;
    }
    return it->second;
  }

  Telemetry::EventLog& events;
  mutable std::mutex mutex;
  std::shared_ptr<const Config::Document> document;
  /** Newest first. */
  std::deque<TextRevision> texts;
  mutable std::map<std::string, std::string> compressed;
  Config::InstanceList instances;
  std::string listText;
  std::uint64_t listIndex = 0;
  Routing::FleetViewPointer view;
  std::atomic<std::uint64_t> generation = 0;
  std::atomic<std::uint64_t> confirmations = 0;
};

ViewStore::ViewStore(Telemetry::EventLog& aEvents)
  : d(std::make_unique<Private>(aEvents))
{
}

ViewStore::~ViewStore() = default;

absl::Status
ViewStore::offerDocument(const std::string& aText, const std::string& aSource)
{
  const auto refuse = [&](const absl::Status& aStatus) {
    auto status =
      Core::withContext(aStatus, "check the offered document", aSource);
    d->events.write(Telemetry::Event::ViewRefused, status.message());
    return status;
  };
  auto parsed = Config::parseDocumentOrStatus(aSource, aText);
  if (!parsed.ok()) {
    return refuse(parsed.status());
  }
  const std::lock_guard lock(d->mutex);
  const auto inForce = d->document == nullptr ? 0 : d->document->revision;
  if (parsed->revision < inForce) {
    return absl::OkStatus();
  }
  if (parsed->revision == inForce) {
    if (parsed->digest == d->document->digest) {
      return absl::OkStatus();
    }
    return refuse(absl::FailedPreconditionError(
      absl::StrCat("revision ",
                   inForce,
                   " is in force with digest ",
                   d->document->digest,
                   " and was offered with digest ",
                   parsed->digest)));
  }
  d->keepText(parsed->digest, aText);
  d->document = std::make_shared<const Config::Document>(std::move(*parsed));
  d->rebuildView();
  d->events.write(Telemetry::Event::ViewInForce,
                  absl::StrCat("revision ",
                               d->document->revision,
                               " digest ",
                               d->document->digest,
                               " from ",
                               aSource));
  return absl::OkStatus();
}

absl::Status
ViewStore::offerInstanceList(const std::string& aText,
                             std::uint64_t aIndex,
                             const std::string& aSource)
{
  auto parsed = Config::parseInstanceList(aSource, aText);
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
  d->listText = aText;
  d->instances = std::move(*parsed);
  d->rebuildView();
  return absl::OkStatus();
}

void
ViewStore::confirm()
{
  ++d->confirmations;
}

ViewState
ViewStore::state() const
{
  const std::lock_guard lock(d->mutex);
  ViewState state;
  state.listIndex = d->listIndex;
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
ViewStore::confirmations() const
{
  return d->confirmations;
}

Messages::ViewReply
ViewStore::answer(const Messages::ViewRequest& aRequest) const
{
  const std::lock_guard lock(d->mutex);
  Messages::ViewReply reply;
  if (d->document != nullptr) {
    reply.set_revision(d->document->revision);
    reply.set_digest(d->document->digest);
    if (d->document->revision > aRequest.revision()) {
      reply.set_document(d->compressedFor(aRequest.digest()));
      if (d->findText(aRequest.digest()) != nullptr) {
        reply.set_base_digest(aRequest.digest());
      }
    }
  }
  reply.set_list_index(d->listIndex);
  if (d->listIndex > aRequest.list_index()) {
    const auto data = compressText(d->listText);
    reply.set_instance_list(data.ok() ? *data : std::string());
  }
  return reply;
}

absl::Status
ViewStore::accept(const Messages::ViewReply& aReply)
{
  if (!aReply.document().empty()) {
    std::string base;
    {
      const std::lock_guard lock(d->mutex);
      const auto* text = d->findText(aReply.base_digest());
      base = text == nullptr ? std::string() : *text;
    }
    const auto text = decompressText(aReply.document(), base);
    if (!text.ok()) {
      return text.status();
    }
    if (Config::digestOf(*text) != aReply.digest()) {
      return absl::DataLossError("the document does not have its digest");
    }
    if (auto status = offerDocument(*text, aReply.name()); !status.ok()) {
      return status;
    }
  }
  if (!aReply.instance_list().empty()) {
    const auto text = decompressText(aReply.instance_list());
    if (!text.ok()) {
      return text.status();
    }
    if (auto status =
          offerInstanceList(*text, aReply.list_index(), aReply.name());
        !status.ok()) {
      return status;
    }
  }
  const auto own = state();
  if (aReply.revision() == own.revision && aReply.digest() != own.digest) {
    const auto message = absl::StrCat("revision ",
                                      own.revision,
                                      " is in force with digest ",
                                      own.digest,
                                      ", and at peer ",
                                      aReply.name(),
                                      " with digest ",
                                      aReply.digest());
    d->events.write(Telemetry::Event::ViewRefused, message);
    return absl::FailedPreconditionError(message);
  }
  if (aReply.revision() <= own.revision) {
    confirm();
  }
  return absl::OkStatus();
}

} // namespace Control
