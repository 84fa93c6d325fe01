#include "commands.h"

#include "exitcode.h"
#include "textfile.h"

#include "config/zoneeditor.h"

#include <iostream>

namespace {

/** Prints the text that aEdit makes of a document and the name of a zone. */
template<typename Edit>
int
printEditedDocument(const CommandLine& aCommandLine, Edit aEdit)
{
  if (aCommandLine.arguments.size() != 2) {
    std::cerr << "usage: lacewingctl evacuate|return FILE ZONE\n";
    return kUsageError;
  }
  const auto& file = aCommandLine.arguments[0];
  const auto text = readTextFile(file);
  if (!text.ok()) {
    return reportReadError(text.status());
  }
  const auto edited = aEdit(file, *text, aCommandLine.arguments[1]);
  if (!edited.ok()) {
    // The standard output may be the operator's next document.
    std::cerr << edited.status().message() << "\n";
    return kNegativeResult;
  }
  std::cout << *edited;
  return kSuccess;
}

} // namespace

int
runEvacuate(const CommandLine& aCommandLine)
{
  return printEditedDocument(aCommandLine, Config::evacuateZone);
}

int
runReturn(const CommandLine& aCommandLine)
{
  return printEditedDocument(aCommandLine, Config::returnZone);
}
