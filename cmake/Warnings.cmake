# Turns on the project's warnings for one target: as errors, except in the build for users, whose compiler may know others.
function(apricotarch_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wnon-virtual-dtor -Woverloaded-virtual
        -Wno-mismatched-new-delete) # g++ 12 takes the frames of Asio coroutines for mismatched
    if(APRICOTARCH_PROGRAM_ONLY)
        target_compile_options(${target} PRIVATE -Wno-stringop-overflow -Wno-restrict) # false findings of g++ 12 at -O3
    else()
        target_compile_options(${target} PRIVATE -Werror)
    endif()
endfunction()
