package fleet

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Phase is a server's lifecycle phase. The numbers are part of the wire format.
type Phase int

// The phases in the order in which a server passes through them.
const (
	WarmingUp Phase = iota + 1 // in slow start
	Warm                       // takes full traffic
	Draining                   // serves on for its grace period, then accepts no new RPCs
	Leaving                    // stopping
)

// maxPhase is the largest phase number that is read from the network.
const maxPhase = 255

// String returns the name of the phase that the status shows.
func (p Phase) String() string {
	if p < WarmingUp || p > Leaving {
		return fmt.Sprintf("phase %d", int(p)) // from a later build
	}
	return [...]string{"cold", "warm", "draining", "leaving"}[p-1]
}

// The keys of gossiped records. They are part of the wire format.
const (
	keyServer  = "server"
	keyRemoval = "gone"
)

// ServerRecord is the record that a server gossips about itself.
type ServerRecord struct {
	Zone           string
	Version        string // of the program
	SettingsHash   string // of the operator's record
	Phase          Phase
	WarmupProgress float64 // from 0 to 1
	Addr           string  // address at which peers reach its fleet port
}

// The fields of message Server in fleet.proto.
const (
	serverZone protowire.Number = iota + 1
	serverVersion
	serverPhase
	serverWarmup
	serverAddr
	serverSettings
)

// appendTo appends the encoded body of the record to b.
func (s *ServerRecord) appendTo(b []byte) []byte {
	b = appendStringField(b, serverZone, s.Zone)
	b = appendStringField(b, serverVersion, s.Version)
	b = appendVarintField(b, serverPhase, uint64(s.Phase))
	b = appendFloatField(b, serverWarmup, s.WarmupProgress)
	b = appendStringField(b, serverAddr, s.Addr)
	return appendStringField(b, serverSettings, s.SettingsHash)
}

// parseServer parses the body of a record that ServerRecord.appendTo wrote. It ignores fields that this build does not know.
func parseServer(body []byte) (s ServerRecord, ok bool) {
	ok = eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		switch number {
		case serverZone:
			s.Zone = string(content)
		case serverVersion:
			s.Version = string(content)
		case serverPhase:
			s.Phase = Phase(min(bits, maxPhase))
		case serverWarmup:
			s.WarmupProgress = floatValue(bits)
		case serverAddr:
			s.Addr = string(content)
		case serverSettings:
			s.SettingsHash = string(content)
		}
	})
	if !(s.WarmupProgress >= 0 && s.WarmupProgress <= 1) {
		s.WarmupProgress = 0 // unknown; treated as a server that has just started
	}
	return s, ok
}

// removal is an operator's declaration that a server will not come back.
type removal struct {
	name       string
	generation uint64 // the last generation that is removed
	operator   string
	reason     string
}

// The fields of message Gone in fleet.proto.
const (
	removalName protowire.Number = iota + 1
	removalGeneration
	removalOperator
	removalReason
)

func (r *removal) appendTo(b []byte) []byte {
	b = appendStringField(b, removalName, r.name)
	b = appendVarintField(b, removalGeneration, r.generation)
	b = appendStringField(b, removalOperator, r.operator)
	return appendStringField(b, removalReason, r.reason)
}

func parseRemoval(body []byte) (r removal, ok bool) {
	ok = eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		switch number {
		case removalName:
			r.name = string(content)
		case removalGeneration:
			r.generation = bits
		case removalOperator:
			r.operator = string(content)
		case removalReason:
			r.reason = string(content)
		}
	})
	return r, ok
}
