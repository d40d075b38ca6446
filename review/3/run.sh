#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. See claim.txt.
exec bash "$(dirname "$0")/../run_case.sh" 3
