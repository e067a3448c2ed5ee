package uwsgi

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, initialBodySize - 1, initialBodySize, initialBodySize + 1, 5 * initialBodySize} {
		want := bytes.Repeat([]byte{7}, size)
		got, err := ReadBody(bytes.NewReader(append(bytes.Clone(want), 8)), int64(size))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("body: got %d bytes, want %d, error %v", len(got), size, err)
		}
		if size == 0 {
			continue
		}
		got, err = ReadBody(bytes.NewReader(want[:size-1]), int64(size))
		if got != nil || !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
			t.Errorf("body of %d bytes truncated by one: got %d bytes, error %v", size, len(got), err)
		}
	}
}
