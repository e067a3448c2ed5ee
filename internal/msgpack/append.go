package msgpack

import (
	"encoding/binary"
	"math"
)

const (
	maxFixCount  = 15 // items of a fixarray, pairs of a fixmap
	maxFixLength = 31 // bytes of a fixstr
)

// AppendArray appends the header of an array of n items.
func AppendArray(b []byte, n int) []byte {
	if n <= maxFixCount {
		return append(b, fixarrayBase|byte(n))
	}
	return appendSize(b, codeArray16, n)
}

// AppendMap appends the header of a map of n pairs.
func AppendMap(b []byte, n int) []byte {
	if n <= maxFixCount {
		return append(b, fixmapBase|byte(n))
	}
	return appendSize(b, codeMap16, n)
}

// AppendNil appends nil.
func AppendNil(b []byte) []byte { return append(b, codeNil) }

// AppendBool appends a boolean.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, codeTrue)
	}
	return append(b, codeFalse)
}

// AppendUint appends an unsigned integer in its shortest form.
func AppendUint(b []byte, v uint64) []byte {
	switch {
	case v <= maxPositiveFixint:
		return append(b, byte(v))
	case v <= math.MaxUint8:
		return append(b, codeUint8, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, codeUint16), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, codeUint32), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, codeUint64), v)
}

// AppendString appends a string.
func AppendString(b []byte, s string) []byte {
	n := len(s)
	switch {
	case n <= maxFixLength:
		b = append(b, fixstrBase|byte(n))
	case n <= math.MaxUint8:
		b = append(b, codeStr8, byte(n))
	default:
		b = appendSize(b, codeStr16, n)
	}
	return append(b, s...)
}

// AppendBinHeader appends the header of a binary of n bytes. The caller appends the bytes.
func AppendBinHeader(b []byte, n int) []byte {
	if n <= math.MaxUint8 {
		return append(b, codeBin8, byte(n))
	}
	return appendSize(b, codeBin16, n)
}

// appendSize appends code16 and n as two bytes or, if n needs more, the code after code16 and n as four bytes.
func appendSize(b []byte, code16 byte, n int) []byte {
	if n <= math.MaxUint16 {
		return binary.BigEndian.AppendUint16(append(b, code16), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, code16+1), uint32(n))
}
