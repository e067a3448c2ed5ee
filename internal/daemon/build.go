package daemon

// This file owns which build this is. It must never take a word for it from outside.

import (
	"runtime/debug"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/trace"
)

// version is set at release builds by -ldflags; else the build's own record tells it.
var version = ""

// BuildVersion names this build.
func BuildVersion() string {
	v := version
	if info, ok := debug.ReadBuildInfo(); ok && v == "" {
		v = info.Main.Version
	}
	return v
}

// TraceBounds are those that an operator's file sets.
func TraceBounds(t *operator.Trace) trace.FileLimits {
	return trace.FileLimits{MaxFileBytes: int64(t.MaxFileMB * (1 << 20)), MaxFiles: t.MaxFiles}
}
