// Package standin provides stand-ins with which this repository tests and measures itself: an engine, application servers, a
// membership service, callers with an open-loop load, a disk that fails, and a checker of the service's invariants. They speak
// the published protocols on loopback only, are bounded in count and time, and can be told to fail. Nothing that serves RPCs
// for others may depend on them.
package standin
