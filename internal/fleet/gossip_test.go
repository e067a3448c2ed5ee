package fleet

import "testing"

// A packet whose relay name has a length of 254 or 255 is parsed like any other, or ignored if it is cut short. The length plus one once
// overflowed a byte, which crashed the process.
func TestLongestRelayName(t *testing.T) {
	for _, length := range []int{0, 1, 253, 254, 255} {
		packet := make([]byte, 1+length+3)
		packet[0] = byte(length)
		name, rest, ok := cutName(packet)
		if !ok || len(name) != length || len(rest) != 3 {
			t.Errorf("length %d: parsed name %q, %d bytes left, ok %v", length, name, len(rest), ok)
		}
		if _, _, ok := cutName(packet[:length]); ok {
			t.Errorf("length %d: a truncated packet is accepted", length)
		}
		in := &instance{fleet: &Fleet{options: Options{Name: "n0"}}}
		in.NotifyMsg(packet)
		in.NotifyMsg(append([]byte{directMark, channelLeases}, packet...))
		in.MergeRemoteState(packet, false)
	}
}
