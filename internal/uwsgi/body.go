package uwsgi

import "io"

// initialBodySize is the most memory in bytes that is allocated for a body before any of it has been received.
const initialBodySize = 16 << 10

// ReadBody reads a body of size bytes. Memory is allocated as the body arrives, as the size that the peer announced may
// be false. The error is that of io.ReadFull.
func ReadBody(in io.Reader, size int64) ([]byte, error) {
	body := make([]byte, min(size, initialBodySize))
	for read := int64(0); ; {
		n, err := io.ReadFull(in, body[read:])
		read += int64(n)
		if err != nil {
			return nil, err
		}
		if read == size {
			return body, nil
		}
		body = append(body, make([]byte, min(size-read, read))...)
	}
}
