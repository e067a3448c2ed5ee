// Package release implements progressive rollout of settings and program versions across a fleet: servers are assigned
// to waves, each wave is compared with the servers that still run the previous version over the same minutes (canary
// analysis with a sequential test), and the rollout is rolled back if the new version is worse, and paused if too
// little is known. It is a replicated state machine, like decision/permit: the permit servers apply commands in the order
// of their raft log, and every replica that applies the same commands reaches the same state. Time enters only as
// durations that the commands carry, measured on the leader's clock. The package is pure: no I/O, no clock and no
// randomness. A server is never assigned a version before its wave begins, and never keeps a version that was rolled back.
package release
