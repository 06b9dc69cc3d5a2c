// Parses the command-line arguments of the programs with docopt. The programs
// exit with 0 after printing help or the version, and with 2 on wrong usage.
#pragma once

#include <docopt.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

namespace sequoialb {

using Arguments = std::map<std::string, docopt::value>;

constexpr int kExitWrongUsage = 2;

// Parses the arguments according to the docopt text `usage`. On --help,
// --version or wrong usage, prints the text that is due and exits.
inline Arguments ParseArguments(const char* usage, int argc, char** argv,
                                const std::string& version = "") {
  try {
    return docopt::docopt_parse(usage, {argv + 1, argv + argc}, true,
                                !version.empty());
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    std::exit(0);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << version << "\n";
    std::exit(0);
  } catch (const std::runtime_error& e) {
    std::cerr << e.what() << "\n\n" << usage;
    std::exit(kExitWrongUsage);
  }
}

}  // namespace sequoialb
