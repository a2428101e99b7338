#include <easylogging++.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv) {
  // Libraries cache allocations for the life of the process; the leak check of
  // the sanitizer build knows them, the one of CppUTest does not.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
