package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
)

// contentIDBytes is the length of a content ID before it is encoded.
const contentIDBytes = 16

// contentID identifies the content of a request: it is the same for requests with the same method, host, path, query,
// customer and body, at all instances. The hash is cryptographic because callers choose the content.
func contentID(r *http.Request, customer string, body []byte) string {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.RequestURI, customer} {
		// The lengths keep one field from running into the next.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:contentIDBytes])
}
