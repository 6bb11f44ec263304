# SANITIZE is a comma-separated list of sanitizers, for example address,undefined or thread.
set(SANITIZE "" CACHE STRING "Sanitizers to build with")
if(SANITIZE)
    add_compile_options(-fsanitize=${SANITIZE} -fno-omit-frame-pointer -Wno-error=maybe-uninitialized -Wno-error=tsan)
    add_link_options(-fsanitize=${SANITIZE})
endif()
