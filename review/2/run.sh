#!/usr/bin/env bash
number=2
. "$(dirname "$0")/../run-case.sh"
