# Turns on the project's warnings, as errors, for one target.
function(apricotarch_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wnon-virtual-dtor -Woverloaded-virtual -Werror
        -Wno-mismatched-new-delete) # g++ 12 takes the frames of Asio coroutines for mismatched
endfunction()
