#ifndef CROCUSMAST_ADAPTERS_WAVE_CODEC_H_
#define CROCUSMAST_ADAPTERS_WAVE_CODEC_H_

#include <string>
#include <string_view>

#include "crocusmast/maintenance/wave.h"

namespace crocusmast::adapters {

/**
 * @brief Writes a wave as the store keeps it and the tool reads it.
 * @param wave The wave.
 */
std::string FormatWave(const maintenance::Wave& wave);

/**
 * @brief Reads a wave.
 * @param text JSON.
 */
core::Result<maintenance::Wave> ParseWave(std::string_view text);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_WAVE_CODEC_H_
