#include "apricotarch/protocol/validation_error.h"

namespace apricotarch
{

std::string describe(const std::string &file, const Faults &faults)
{
    std::string lines;
    for (const ValidationError &fault : faults) {
        lines += file + ':' + std::to_string(fault.line) + ": ";
        lines += fault.key.empty() ? fault.message : fault.key + ": " + fault.message;
        lines += '\n';
    }
    return lines;
}

} // namespace apricotarch
