#!/usr/bin/env bash
# Installs the Debian packages required for the build and the checks. Does nothing if all of them are installed.
set -eu
packages=(
    cmake g++ ninja-build ccache curl clang-format clang-tidy spin gcc
    libboost1.81-dev libboost-test1.81-dev libboost-json1.81-dev libboost-url1.81-dev
    libthrift-dev libyaml-cpp-dev libcli11-dev libgoogle-glog-dev libexpected-dev libxxhash-dev libssl-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} = 0 ] && exit 0
echo "setup: installing ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
