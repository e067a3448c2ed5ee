// Package release implements progressive rollout of settings and program versions across a fleet: servers are assigned
// to waves, each wave is compared with the servers that still run the previous version over the same minutes (canary
// analysis with a sequential test), and the rollout is paused or rolled back where the new version is worse or where too
// little is known. It is a replicated state machine beside decision/permit: the permit servers apply commands in the
// order of their raft log, and the same commands give the same state on every replica; time enters only as durations
// carried by the commands, measured on the leader's clock. The package is pure: no I/O, no clock and no randomness.
// A server is never assigned a version before its wave, and never left on a version that was rolled back.
package release
