package mprpc

// This file encodes responses and notifications.

import (
	"strconv"
	"strings"

	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/uwsgi"
)

// appendResponseHeader appends the header of a response. The error and the result follow it.
func appendResponseHeader(b []byte, id uint64) []byte {
	b = msgpack.AppendArray(b, 4)
	b = msgpack.AppendUint(b, typeResponse)
	return msgpack.AppendUint(b, id)
}

// resultHeader encodes the part of a response that precedes a result of n bytes. resultTrailer encodes the part after
// it.
func resultHeader(id uint64, n int) []byte {
	b := appendResponseHeader(make([]byte, 0, 24), id)
	b = msgpack.AppendNil(b)
	b = msgpack.AppendArray(b, 2)
	return msgpack.AppendBinHeader(b, n)
}

// resultTrailer encodes the fields that follow a result. Of the HTTP head of a pool's response it passes on only a
// status other than 200 and the content type.
func resultTrailer(head []byte) []byte {
	if len(head) == 0 {
		return msgpack.AppendMap(nil, 0)
	}
	var fields []string
	if r, _, err := uwsgi.ParseResponse(head); err == nil && r.Status != 200 {
		fields = append(fields, "status", strconv.Itoa(r.Status))
	}
	uwsgi.EachField(head, func(name, value []byte) {
		if strings.EqualFold(string(name), "content-type") && len(fields) < 4 {
			fields = append(fields, "type", string(value))
		}
	})
	b := msgpack.AppendMap(nil, len(fields)/2)
	for _, f := range fields {
		b = msgpack.AppendString(b, f)
	}
	return b
}

// rejection encodes the response to an RPC that never ran. noRetry asks the router not to retry it on another server.
func rejection(id uint64, retryAfterMs float64, noRetry bool) []byte {
	b := msgpack.AppendArray(appendResponseHeader(make([]byte, 0, 48), id), 2)
	b = msgpack.AppendString(b, "Overloaded")
	fields := 0
	if retryAfterMs >= 1 {
		fields++
	}
	if noRetry {
		fields++
	}
	b = msgpack.AppendMap(b, fields)
	if retryAfterMs >= 1 {
		b = msgpack.AppendString(b, "later")
		b = msgpack.AppendString(b, strconv.Itoa(int(retryAfterMs)))
	}
	if noRetry {
		b = msgpack.AppendString(b, "giveup")
		b = msgpack.AppendString(b, "1")
	}
	return msgpack.AppendNil(b)
}

// errorResponse encodes the response to an RPC that is invalid or may have run.
func errorResponse(id uint64, code, reason string) []byte {
	b := msgpack.AppendArray(appendResponseHeader(make([]byte, 0, 64), id), 2)
	b = msgpack.AppendString(b, code)
	b = msgpack.AppendMap(b, 1)
	b = msgpack.AppendString(b, "why")
	b = msgpack.AppendString(b, reason)
	return msgpack.AppendNil(b)
}

// healthResponse encodes the response to a health check.
func healthResponse(id uint64, healthy bool) []byte {
	b := appendResponseHeader(make([]byte, 0, 16), id)
	b = msgpack.AppendNil(b)
	b = msgpack.AppendArray(b, 2)
	b = msgpack.AppendBool(b, healthy)
	return msgpack.AppendMap(b, 0)
}

// closingNotification encodes the notification that asks the router to send no more RPCs on the connection.
func closingNotification() []byte {
	b := msgpack.AppendArray(nil, 3)
	b = msgpack.AppendUint(b, typeNotification)
	b = msgpack.AppendString(b, "closing")
	return msgpack.AppendArray(b, 0)
}
