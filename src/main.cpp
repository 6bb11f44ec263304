#include "apricotarch/app/cli.h"
#include "apricotarch/base/log.h"

int main(int argc, char **argv)
{
    apricotarch::startLogging(argv[0]);
    return apricotarch::runCommandLine(argc, argv);
}
