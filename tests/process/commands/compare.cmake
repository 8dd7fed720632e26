# Runs PROGRAM with ARGUMENTS in FOLDER and compares the exit code and the combined standard
# output and error with the file EXPECTED, whose first line is the exit code.
separate_arguments(ARGUMENTS UNIX_COMMAND "${ARGUMENTS}")
execute_process(COMMAND ${PROGRAM} ${ARGUMENTS} WORKING_DIRECTORY ${FOLDER}
  RESULT_VARIABLE code OUTPUT_VARIABLE text ERROR_VARIABLE text)
file(READ ${EXPECTED} expected)
if(NOT "${code}\n${text}" STREQUAL "${expected}")
  message(FATAL_ERROR "got:\n${code}\n${text}\nexpected:\n${expected}")
endif()
