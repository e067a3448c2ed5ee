package fleet

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Phase is a server's lifecycle phase. Its numbers go over the wire.
type Phase int

// The phases in their order.
const (
	WarmingUp Phase = iota + 1 // in slow start
	Warm                       // takes full traffic
	Draining                   // goes on for its grace period, then takes nothing new
	Leaving                    // stops
)

// maxPhase bounds the number of a phase that is read from the network.
const maxPhase = 255

// String returns the phase's name in the status.
func (p Phase) String() string {
	if p < WarmingUp || p > Leaving {
		return fmt.Sprintf("phase %d", int(p)) // of a later build
	}
	return [...]string{"cold", "warm", "draining", "leaving"}[p-1]
}

// The keys of gossiped records, as they go over the wire.
const (
	keyServer  = "server"
	keyRemoval = "gone"
)

// ServerRecord is what a server gossips about itself.
type ServerRecord struct {
	Zone           string
	Version        string // of the program
	SettingsHash   string // of the operator's record
	Phase          Phase
	WarmupProgress float64 // from 0 to 1
	Addr           string  // where its fleet port is reached
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

// appendTo writes the record's body.
func (s *ServerRecord) appendTo(b []byte) []byte {
	b = appendStringField(b, serverZone, s.Zone)
	b = appendStringField(b, serverVersion, s.Version)
	b = appendVarintField(b, serverPhase, uint64(s.Phase))
	b = appendFloatField(b, serverWarmup, s.WarmupProgress)
	b = appendStringField(b, serverAddr, s.Addr)
	return appendStringField(b, serverSettings, s.SettingsHash)
}

// parseServer reads what appendTo wrote, as far as this build knows it.
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
		s.WarmupProgress = 0 // unknown: as if it had just started
	}
	return s, ok
}

// removal is an operator's declaration that a server will not come back.
type removal struct {
	name       string
	generation uint64 // the last one that is removed
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
