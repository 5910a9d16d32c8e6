#include "cli/cli.h"

int main(int argc, char** argv) { return stoatrun::cli::Main(argc, argv); }
