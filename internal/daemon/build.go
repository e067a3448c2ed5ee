package daemon

import "runtime/debug"

// version is set in release builds by -ldflags; otherwise the build's own record has it.
var version = ""

// BuildVersion is the version of this build; "" if it is not known.
func BuildVersion() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}
