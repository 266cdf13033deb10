#!/bin/sh
# The stand-ins in review/standins are scripts for python3 and use its standard library only, so
# there is nothing to build.
command -v python3 >/dev/null
