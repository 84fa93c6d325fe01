#include "compression/textcodec.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/match.h>
#include <zstd.h>

namespace Compression {

namespace {

constexpr int kCompressionLevel = 6;
/** 16 MB, so that matches in a base of several megabytes are found. */
constexpr int kWindowLog = 24;
constexpr std::size_t kMaxTextBytes = 64 * 1024 * 1024;

absl::Status
zstdError(std::size_t aResult)
{
  return absl::InternalError(ZSTD_getErrorName(aResult));
}

} // namespace

absl::StatusOr<std::string>
compressText(absl::string_view aText, absl::string_view aBase)
{
  auto* const context = ZSTD_createCCtx();
  const absl::Cleanup freeContext = [context] { ZSTD_freeCCtx(context); };
  ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, kWindowLog);
  ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(context, aBase.data(), aBase.size());
  std::string data(ZSTD_compressBound(aText.size()), '\0');
  const auto result = ZSTD_compress2(
    context, data.data(), data.size(), aText.data(), aText.size());
  if (ZSTD_isError(result) != 0) {
    return zstdError(result);
  }
  data.resize(result);
  return data;
}

absl::StatusOr<std::string>
decompressText(absl::string_view aData, absl::string_view aBase)
{
  const auto size = ZSTD_getFrameContentSize(aData.data(), aData.size());
  if (size > kMaxTextBytes) {
    return absl::InvalidArgumentError(
      "not a Zstandard frame of known size, or its text is too long");
  }
  auto* const context = ZSTD_createDCtx();
  const absl::Cleanup freeContext = [context] { ZSTD_freeDCtx(context); };
  ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, kWindowLog);
  ZSTD_DCtx_refPrefix(context, aBase.data(), aBase.size());
  std::string text(size, '\0');
  const auto result = ZSTD_decompressDCtx(
    context, text.data(), text.size(), aData.data(), aData.size());
  if (ZSTD_isError(result) != 0) {
    return zstdError(result);
  }
  text.resize(result);
  return text;
}

bool
isCompressed(absl::string_view aData)
{
  constexpr char kMagic[] = "\x28\xb5\x2f\xfd";
  return absl::StartsWith(aData, kMagic);
}

absl::StatusOr<std::string>
decompressIfNeeded(const std::string& aValue)
{
  return isCompressed(aValue) ? decompressText(aValue) : aValue;
}

} // namespace Compression
