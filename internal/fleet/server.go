package fleet

// This file owns what a server says of itself and of names that an operator declared gone, as bytes. It must read what an
// older or newer build wrote as far as it is known.

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// Phase is where a server is in its life.
type Phase int

const (
	WarmingUp Phase = iota + 1 // in its ramp
	Warm                       // takes all
	Draining                   // goes on for its grace, then takes nothing
	Leaving                    // says good-bye
)

func (p Phase) String() string {
	if p < WarmingUp || p > Leaving {
		return fmt.Sprintf("phase %d", int(p)) // of a later build
	}
	return [...]string{"cold", "warm", "draining", "leaving"}[p-1]
}

// ServerRecord is what a server says of itself.
type ServerRecord struct {
	Zone           string
	Version        string  // of the program
	SettingsHash   string  // hash of the operator's record
	Phase          Phase   //
	WarmupProgress float64 // share of the ramp that is over, 1 when warm
	Addr           string  // where its fleet port is reached
}

// The keys of records.
const (
	keyServer  = "server"
	keyRemoval = "gone"
)

func (s *ServerRecord) appendTo(b []byte) []byte {
	b = appendStringField(b, 1, s.Zone)
	b = appendStringField(b, 2, s.Version)
	b = protowire.AppendVarint(protowire.AppendTag(b, 3, protowire.VarintType), uint64(s.Phase))
	b = protowire.AppendFixed32(protowire.AppendTag(b, 4, protowire.Fixed32Type), math.Float32bits(float32(s.WarmupProgress)))
	b = appendStringField(b, 5, s.Addr)
	return appendStringField(b, 6, s.SettingsHash)
}

func appendStringField(b []byte, num protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, num, protowire.BytesType), s)
}

// eachField calls f for each field of a message: v holds a text's bytes, n a number's bits. false if it is no message.
func eachField(b []byte, f func(num protowire.Number, v []byte, n uint64)) bool {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return false
		}
		b = b[n:]
		var v []byte
		var x uint64
		switch typ {
		case protowire.VarintType:
			x, n = protowire.ConsumeVarint(b)
		case protowire.Fixed32Type:
			var y uint32
			y, n = protowire.ConsumeFixed32(b)
			x = uint64(y)
		case protowire.Fixed64Type:
			x, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return false
		}
		f(num, v, x)
		b = b[n:]
	}
	return true
}

func parseServer(b []byte) (s ServerRecord, ok bool) {
	ok = eachField(b, func(num protowire.Number, v []byte, n uint64) {
		switch num {
		case 1:
			s.Zone = string(v)
		case 2:
			s.Version = string(v)
		case 3:
			s.Phase = Phase(min(n, 255))
		case 4:
			s.WarmupProgress = float64(math.Float32frombits(uint32(n)))
		case 5:
			s.Addr = string(v)
		case 6:
			s.SettingsHash = string(v)
		}
	})
	if !(s.WarmupProgress >= 0 && s.WarmupProgress <= 1) {
		s.WarmupProgress = 0 // not known: on the safe side
	}
	return s, ok
}

// removal is an operator's word.
type removal struct {
	name             string
	generation       uint64
	operator, reason string
}

func (g *removal) appendTo(b []byte) []byte {
	b = appendStringField(b, 1, g.name)
	b = protowire.AppendVarint(protowire.AppendTag(b, 2, protowire.VarintType), g.generation)
	return appendStringField(appendStringField(b, 3, g.operator), 4, g.reason)
}

func parseRemoval(b []byte) (g removal, ok bool) {
	ok = eachField(b, func(num protowire.Number, v []byte, n uint64) {
		switch num {
		case 1:
			g.name = string(v)
		case 2:
			g.generation = n
		case 3:
			g.operator = string(v)
		case 4:
			g.reason = string(v)
		}
	})
	return g, ok
}
