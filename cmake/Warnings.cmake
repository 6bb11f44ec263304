# Enables the project's warnings for a target. They are errors except in the users' build (APRICOTARCH_PROGRAM_ONLY), whose compiler may
# have additional warnings.
function(apricotarch_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wnon-virtual-dtor -Woverloaded-virtual
        -Wno-mismatched-new-delete) # false positives of g++ 12 for frames of Asio coroutines
    if(APRICOTARCH_PROGRAM_ONLY)
        target_compile_options(${target} PRIVATE -Wno-stringop-overflow -Wno-restrict) # false positives of g++ 12 at -O3
    else()
        target_compile_options(${target} PRIVATE -Werror)
    endif()
endfunction()
