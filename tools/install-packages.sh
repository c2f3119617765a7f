#!/usr/bin/env bash
# Installs the packages that the build and the tests need on Debian 12; does
# nothing if all are installed.
set -euo pipefail
packages=(gcc clang libclang-rt-14-dev cmake ninja-build pkg-config
  libglib2.0-dev libsoup-3.0-dev libjson-c-dev libtirpc-dev liblog4c-dev
  clang-format clang-tidy spin valgrind gnuplot-nox python3 curl)
if dpkg -s "${packages[@]}" > /dev/null 2>&1; then
  exit 0
fi
if [ "$(id -u)" != 0 ]; then
  echo "required packages are not installed; run as root: apt-get install ${packages[*]}" >&2
  exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -q -y --no-install-recommends "${packages[@]}"
