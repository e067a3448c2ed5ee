package fleet

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/decision/quota"
)

const (
	// maxPacketBytes is the size at which a packet is sent. Together with memberlist's overhead such a packet still fits into one Ethernet
	// frame.
	maxPacketBytes = 1100
	// maxPacketMessages is the maximum number of messages that are read from a packet.
	maxPacketMessages = 256
	// maxAmount is the largest valid value of the number fields of a message.
	maxAmount = 1e12
	// maxEnum limits the number of a kind or a reason. Larger numbers are unknown in any case.
	maxEnum = 255
)

// The fields of the messages Loans (leasesMessage) and Loan (the others) in fleet.proto.
const (
	leasesMessage protowire.Number = 1

	leaseKey             protowire.Number = 1
	leaseKind            protowire.Number = 2
	leaseRequestID       protowire.Number = 3
	leaseIncarnation     protowire.Number = 4
	leaseAmount          protowire.Number = 5
	leaseDuration        protowire.Number = 6
	leasePriorityWeight  protowire.Number = 7
	leaseCurrentCapacity protowire.Number = 8
	leaseRenews          protowire.Number = 9
	leaseReason          protowire.Number = 10
)

// appendLease appends a message to a packet. Fields that are 0 are left out.
func appendLease(packet []byte, m *quota.KeyedMessage) []byte {
	var body []byte
	appendNumber := func(number protowire.Number, v uint64) {
		if v != 0 {
			body = appendVarintField(body, number, v)
		}
	}
	appendDouble := func(number protowire.Number, v float64) {
		if v != 0 {
			body = appendFixed64Field(body, number, math.Float64bits(v))
		}
	}
	body = appendStringField(body, leaseKey, m.Key)
	appendNumber(leaseKind, uint64(m.Kind))
	appendNumber(leaseRequestID, m.RequestID)
	body = appendFixed64Field(body, leaseIncarnation, m.Incarnation)
	appendDouble(leaseAmount, m.Amount)
	appendDouble(leaseDuration, m.Duration)
	appendDouble(leasePriorityWeight, m.PriorityWeight)
	appendDouble(leaseCurrentCapacity, m.CurrentCapacity)
	appendNumber(leaseRenews, m.Renews)
	appendNumber(leaseReason, uint64(m.Reason))
	return appendBytesField(packet, leasesMessage, body)
}

// parseLeases parses a packet, leaving out malformed messages. ok is false if there is a malformed message, or no message at all.
func parseLeases(packet []byte) (messages []quota.KeyedMessage, ok bool) {
	allValid := true
	complete := eachField(packet, func(number protowire.Number, content []byte, _ uint64) {
		if number != leasesMessage || len(messages) >= maxPacketMessages {
			return
		}
		message, valid := parseLease(content)
		if valid {
			messages = append(messages, message)
		} else {
			allValid = false
		}
	})
	return messages, complete && allValid && len(messages) > 0
}

// parseLease parses one message.
func parseLease(body []byte) (m quota.KeyedMessage, valid bool) {
	complete := eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		switch number {
		case leaseKey:
			m.Key = string(content)
		case leaseKind:
			m.Kind = quota.MessageKind(min(bits, maxEnum))
		case leaseRequestID:
			m.RequestID = bits
		case leaseIncarnation:
			m.Incarnation = bits
		case leaseAmount:
			m.Amount = math.Float64frombits(bits)
		case leaseDuration:
			m.Duration = math.Float64frombits(bits)
		case leasePriorityWeight:
			m.PriorityWeight = math.Float64frombits(bits)
		case leaseCurrentCapacity:
			m.CurrentCapacity = math.Float64frombits(bits)
		case leaseRenews:
			m.Renews = bits
		case leaseReason:
			m.Reason = quota.DenialReason(min(bits, maxEnum))
		}
	})
	inBounds := true
	for _, value := range [...]float64{m.Amount, m.Duration, m.PriorityWeight, m.CurrentCapacity} {
		inBounds = inBounds && value >= 0 && value <= maxAmount
	}
	knownKind := m.Kind >= quota.Request && m.Kind <= quota.Offer
	return m, complete && inBounds && knownKind && m.Key != ""
}
