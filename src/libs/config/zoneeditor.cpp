#include "config/zoneeditor.h"

#include "config/documentparser.h"
#include "config/jsonreader.h"

#include <absl/strings/str_cat.h>
#include <json/writer.h>

#include <algorithm>
#include <cstddef>

namespace Config {

namespace {

constexpr const char* kListKey = "evacuatedZones";

/** The text of one document, its values and their positions in the text. */
struct OpenDocument
{
  std::string file;
  std::string text;
  Document document;
  Json::Value root;
};

absl::StatusOr<OpenDocument>
openDocument(const std::string& aFile,
             const std::string& aText,
             absl::string_view aZone)
{
  auto document = parseDocumentOrStatus(aFile, aText);
  if (!document.ok()) {
    return document.status();
  }
  const auto isDeclared = [aZone](const Region& aRegion) {
    return std::find(aRegion.zones.begin(), aRegion.zones.end(), aZone) !=
           aRegion.zones.end();
  };
  if (std::none_of(
        document->regions.begin(), document->regions.end(), isDeclared)) {
    return absl::NotFoundError(absl::StrCat(
      aFile, ": zone \"", aZone, "\" is not declared under regions"));
  }
  return OpenDocument{
    aFile, aText, std::move(*document), JsonSource(aFile, aText).parse()
  };
}

void
replaceRange(std::string& aText,
             std::ptrdiff_t aStart,
             std::ptrdiff_t aLimit,
             const std::string& aNewText)
{
  aText.replace(static_cast<std::size_t>(aStart),
                static_cast<std::size_t>(aLimit - aStart),
                aNewText);
}

std::string
formatEntry(const Document& aDocument, absl::string_view aZone)
{
  return absl::StrCat("{ \"zone\": ",
                      Json::valueToQuotedString(std::string(aZone).c_str()),
                      ", \"sinceRevision\": ",
                      aDocument.revision + 1,
                      " }");
}

/** Writes the entry of the zone behind the existing ones. */
void
insertEntry(const OpenDocument& aOpen,
            const std::string& aEntry,
            std::string& aText)
{
  const auto& list = aOpen.root[kListKey];
  if (!aOpen.root.isMember(kListKey)) {
    const auto afterBrace = aOpen.root.getOffsetStart() + 1;
    replaceRange(
      aText,
      afterBrace,
      afterBrace,
      absl::StrCat("\n  \"", kListKey, "\": [\n    ", aEntry, "\n  ],"));
  } else if (list.empty()) {
    replaceRange(aText,
                 list.getOffsetStart(),
                 list.getOffsetLimit(),
                 absl::StrCat("[\n    ", aEntry, "\n  ]"));
  } else {
    const auto end = list[list.size() - 1].getOffsetLimit();
    replaceRange(aText, end, end, absl::StrCat(",\n    ", aEntry));
  }
}

/** Removes the entry at aIndex with the comma that separates it. */
void
removeEntry(const Json::Value& aList,
            Json::ArrayIndex aIndex,
            std::string& aText)
{
  if (aList.size() == 1) {
    replaceRange(aText, aList.getOffsetStart(), aList.getOffsetLimit(), "[]");
  } else if (aIndex == 0) {
    replaceRange(
      aText, aList[0].getOffsetStart(), aList[1].getOffsetStart(), "");
  } else {
    replaceRange(aText,
                 aList[aIndex - 1].getOffsetLimit(),
                 aList[aIndex].getOffsetLimit(),
                 "");
  }
}

/**
 * Raises the revision, applies aEdit to the list, and checks the result. The
 * value that is later in the text is changed first, because a change moves all
 * positions after it.
 */
template<typename Edit>
absl::StatusOr<std::string>
editDocument(const OpenDocument& aOpen, Edit aEdit)
{
  auto text = aOpen.text;
  const auto& revision = aOpen.root["revision"];
  const auto raiseRevision = [&] {
    replaceRange(text,
                 revision.getOffsetStart(),
                 revision.getOffsetLimit(),
                 absl::StrCat(aOpen.document.revision + 1));
  };
  const bool isListLater =
    aOpen.root.isMember(kListKey) &&
    aOpen.root[kListKey].getOffsetStart() > revision.getOffsetStart();
  if (isListLater) {
    aEdit(text);
    raiseRevision();
  } else {
    raiseRevision();
    aEdit(text);
  }
  const auto status = parseDocumentOrStatus(aOpen.file, text).status();
  return status.ok() ? absl::StatusOr<std::string>(std::move(text)) : status;
}

} // namespace

absl::StatusOr<std::string>
evacuateZone(const std::string& aFile,
             const std::string& aText,
             absl::string_view aZone)
{
  const auto open = openDocument(aFile, aText, aZone);
  if (!open.ok()) {
    return open.status();
  }
  if (open->document.isZoneEvacuated(aZone)) {
    return absl::FailedPreconditionError(
      absl::StrCat(aFile, ": zone \"", aZone, "\" is already evacuated"));
  }
  return editDocument(*open, [&](std::string& aNewText) {
    insertEntry(*open, formatEntry(open->document, aZone), aNewText);
  });
}

absl::StatusOr<std::string>
returnZone(const std::string& aFile,
           const std::string& aText,
           absl::string_view aZone)
{
  const auto open = openDocument(aFile, aText, aZone);
  if (!open.ok()) {
    return open.status();
  }
  const auto& zones = open->document.evacuatedZones;
  const auto it = std::find_if(
    zones.begin(), zones.end(), [aZone](const EvacuatedZone& aEntry) {
      return aEntry.name == aZone;
    });
  if (it == zones.end()) {
    return absl::FailedPreconditionError(
      absl::StrCat(aFile, ": zone \"", aZone, "\" is not evacuated"));
  }
  const auto index = static_cast<Json::ArrayIndex>(it - zones.begin());
  return editDocument(*open, [&](std::string& aNewText) {
    removeEntry(open->root[kListKey], index, aNewText);
  });
}

} // namespace Config
