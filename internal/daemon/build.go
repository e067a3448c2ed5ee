package daemon

import "runtime/debug"

// version is set in release builds by -ldflags. Other builds use the version in the build information.
var version = ""

// BuildVersion returns the version of this build, or "" if it is unknown.
func BuildVersion() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}
