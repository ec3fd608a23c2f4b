# Warnings apply to our own targets only, so that library headers can not break the build.
add_library(pf_warnings INTERFACE)
# g++ 12 reports Asio's own allocation of coroutine frames as mismatched new and delete.
target_compile_options(pf_warnings INTERFACE -Wall -Wextra -Wshadow -Wnon-virtual-dtor
                       $<$<BOOL:${PF_WERROR}>:-Werror>
                       $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_include_directories(pf_warnings INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(pf_warnings INTERFACE Threads::Threads)
target_compile_definitions(pf_warnings INTERFACE BOOST_ASIO_NO_DEPRECATED)

# Adds the library pf_NAME from src/NAME. A module without sources becomes an interface library.
function(add_module name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
    set(dependencies)
    foreach(dependency ${ARG_DEPENDS})
        if(TARGET pf_${dependency})
            list(APPEND dependencies pf_${dependency})
        else()
            list(APPEND dependencies ${dependency})
        endif()
    endforeach()
    if(sources)
        add_library(pf_${name} STATIC ${sources})
        target_link_libraries(pf_${name} PUBLIC ${dependencies} PRIVATE pf_warnings)
        target_include_directories(pf_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    else()
        add_library(pf_${name} INTERFACE)
        target_link_libraries(pf_${name} INTERFACE ${dependencies})
        target_include_directories(pf_${name} INTERFACE ${CMAKE_SOURCE_DIR}/src)
    endif()
endfunction()

# Adds the library pf_platform from platform/, the only folder that knows the platform's names.
function(add_platform)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
    add_library(pf_platform STATIC ${sources})
    list(TRANSFORM ARG_DEPENDS PREPEND pf_)
    target_link_libraries(pf_platform PUBLIC ${ARG_DEPENDS} PRIVATE pf_warnings)
    target_include_directories(pf_platform PUBLIC ${CMAKE_SOURCE_DIR})
endfunction()

# Each folder under standins/ is one test program; standins/common is a library that they share.
function(add_standins)
    file(GLOB common CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/common/*.cpp)
    if(common)
        add_library(pf_standins STATIC ${common})
        target_link_libraries(pf_standins PUBLIC pf_base pf_metrics Boost::json Boost::url
                              PRIVATE pf_warnings)
        target_include_directories(pf_standins PUBLIC ${CMAKE_SOURCE_DIR}/standins)
    else()
        add_library(pf_standins INTERFACE)
        target_link_libraries(pf_standins INTERFACE pf_base pf_metrics Boost::json Boost::url)
        target_include_directories(pf_standins INTERFACE ${CMAKE_SOURCE_DIR}/standins)
    endif()
    file(GLOB folders CONFIGURE_DEPENDS LIST_DIRECTORIES true ${CMAKE_SOURCE_DIR}/standins/*)
    foreach(folder ${folders})
        get_filename_component(name ${folder} NAME)
        file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
        if(sources AND NOT name STREQUAL "common")
            add_executable(standin_${name} ${sources})
            target_link_libraries(standin_${name} PRIVATE pf_standins pf_warnings)
        endif()
    endforeach()
endfunction()

# Adds one test program for each folder under tests/ that has the name of a module.
function(add_module_tests)
    foreach(name base metrics coord rules rollout settings slo store wire http batch node fleet serving
                 platform cli)
        file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cpp)
        # Commands are tested with instances that send prepared bytes, too.
        if(name STREQUAL "cli")
            list(APPEND sources ${CMAKE_SOURCE_DIR}/tests/http/rawendpoint.cpp)
        endif()
        if(sources)
            add_executable(test_${name} ${sources} ${CMAKE_SOURCE_DIR}/tests/main.cpp)
            target_link_libraries(test_${name} PRIVATE pf_${name} pf_standins pf_warnings
                                  PkgConfig::CPPUTEST rapidcheck)
            target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
            add_test(NAME ${name} COMMAND test_${name} -c)
            set_tests_properties(${name} PROPERTIES TIMEOUT 120)
        endif()
    endforeach()
endfunction()

# Each file tests/system/NAMEtest.cpp is one test program that starts real processes; the other
# files of the folder are shared by all of them.
function(add_system_tests)
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/system/*test.cpp)
    file(GLOB shared CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/system/*.cpp)
    if(NOT tests)
        return()
    endif()
    list(REMOVE_ITEM shared ${tests})
    list(APPEND shared ${CMAKE_SOURCE_DIR}/tests/http/rawclient.cpp
         ${CMAKE_SOURCE_DIR}/tests/http/rawendpoint.cpp)
    add_library(pf_system_tests STATIC ${shared} ${CMAKE_SOURCE_DIR}/tests/main.cpp)
    target_link_libraries(pf_system_tests PUBLIC pf_node pf_standins pf_warnings PkgConfig::CPPUTEST)
    target_include_directories(pf_system_tests PUBLIC ${CMAKE_SOURCE_DIR}/tests)
    target_compile_definitions(pf_system_tests PUBLIC PF_BINARY_DIR="${CMAKE_BINARY_DIR}"
                               PF_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    foreach(file ${tests})
        get_filename_component(name ${file} NAME_WE)
        string(REGEX REPLACE "test$" "" name ${name})
        add_executable(system_${name} ${file})
        target_link_libraries(system_${name} PRIVATE pf_system_tests)
        add_test(NAME system.${name} COMMAND system_${name} -c)
        # The tests share the processors with their instances; side by side they would disturb
        # each other's deadlines.
        set_tests_properties(system.${name} PROPERTIES TIMEOUT 180 PROCESSORS 3)
    endforeach()
    # These take longest, so they start first. The rollout takes 145 s on 10 processors.
    set_tests_properties(system.rollout system.batch system.limitruns system.endpoints
                         PROPERTIES COST 100 TIMEOUT 300)
endfunction()

# Each file tests/fuzz/NAMEfuzz.cpp is a libFuzzer target. Linked with tests/fuzz/NAMEdriver.cpp it
# is an ordinary program that feeds a bounded, fixed-seed series of inputs, so that the tests need
# no clang runtime.
function(add_fuzz_tests)
    file(GLOB targets CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/fuzz/*fuzz.cpp)
    foreach(file ${targets})
        get_filename_component(name ${file} NAME_WE)
        string(REGEX REPLACE "fuzz$" "" name ${name})
        add_executable(fuzz_${name} ${file} ${CMAKE_SOURCE_DIR}/tests/fuzz/${name}driver.cpp)
        target_link_libraries(fuzz_${name} PRIVATE pf_wire pf_platform pf_warnings)
        target_include_directories(fuzz_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
        add_test(NAME fuzz.${name} COMMAND fuzz_${name})
        set_tests_properties(fuzz.${name} PROPERTIES TIMEOUT 60)
    endforeach()
endfunction()

# Each file bench/NAMEbench.cpp is one program that measures a cost; the tests do not run it.
function(add_benches)
    file(GLOB benches CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*bench.cpp)
    foreach(file ${benches})
        get_filename_component(name ${file} NAME_WE)
        add_executable(${name} ${file})
        target_link_libraries(${name} PRIVATE pf_node pf_standins pf_warnings)
        # Those that measure whole fleets start them as the system tests do.
        if(name MATCHES "^fleet")
            target_link_libraries(${name} PRIVATE pf_system_tests)
        endif()
    endforeach()
endfunction()

# Each file tests/measure/NAME.cpp is a program that measures a cost; no test runs it.
function(add_measurements)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/measure/*.cpp)
    foreach(file ${sources})
        get_filename_component(name ${file} NAME_WE)
        add_executable(measure_${name} ${file})
        target_link_libraries(measure_${name} PRIVATE pf_node pf_standins pf_warnings)
        target_include_directories(measure_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    endforeach()
endfunction()
