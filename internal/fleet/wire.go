package fleet

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// The bodies of records and direct packets are protocol buffers, defined in fleet.proto. They are encoded and decoded by hand so that fields of
// older or newer builds are skipped.

func appendStringField(b []byte, number protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, number, protowire.BytesType), s)
}

func appendBytesField(b []byte, number protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), v)
}

func appendVarintField(b []byte, number protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), v)
}

func appendFixed64Field(b []byte, number protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, number, protowire.Fixed64Type), v)
}

func appendFloatField(b []byte, number protowire.Number, v float64) []byte {
	return protowire.AppendFixed32(protowire.AppendTag(b, number, protowire.Fixed32Type), math.Float32bits(float32(v)))
}

// floatValue converts the bits that eachField passes for a float field to a number, which may be NaN or infinite.
func floatValue(bits uint64) float64 {
	return float64(math.Float32frombits(uint32(bits)))
}

// boundedFloat returns floatValue limited to the range from 0 to limit. NaN becomes 0.
func boundedFloat(bits uint64, limit float64) float64 {
	v := floatValue(bits)
	if !(v >= 0) {
		return 0
	}
	return math.Min(v, limit)
}

// eachField calls visit for each field of a message, with the content of a string, bytes or message field, or with the bits of a number. It
// returns false if the message is malformed.
func eachField(message []byte, visit func(number protowire.Number, content []byte, bits uint64)) bool {
	for len(message) > 0 {
		number, wireType, length := protowire.ConsumeTag(message)
		if length < 0 {
			return false
		}
		message = message[length:]
		var content []byte
		var bits uint64
		switch wireType {
		case protowire.VarintType:
			bits, length = protowire.ConsumeVarint(message)
		case protowire.Fixed32Type:
			var short uint32
			short, length = protowire.ConsumeFixed32(message)
			bits = uint64(short)
		case protowire.Fixed64Type:
			bits, length = protowire.ConsumeFixed64(message)
		case protowire.BytesType:
			content, length = protowire.ConsumeBytes(message)
		default:
			length = protowire.ConsumeFieldValue(number, wireType, message)
		}
		if length < 0 {
			return false
		}
		visit(number, content, bits)
		message = message[length:]
	}
	return true
}
