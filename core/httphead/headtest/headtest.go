// Package headtest has malformed responses for tests of programs that read responses.
package headtest

// Malformed returns responses with a malformed head, by what is malformed. fields are the header
// fields of a response that would count, each with its line end, and body is its body.
func Malformed(fields, body string) map[string]string {
	rest := "\r\n" + fields + "\r\n" + body
	return map[string]string{
		"status 000":             "HTTP/1.1 000 OK" + rest,
		"status 000, no reason":  "HTTP/1.1 000" + rest,
		"status 000 of HTTP/1.0": "HTTP/1.0 000 OK" + rest,
		"status 000 after 103":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK" + rest,
		"status 099":             "HTTP/1.1 099 X" + rest,
		"status 600":             "HTTP/1.1 600 X" + rest,
		"status 999":             "HTTP/1.1 999 X" + rest,
		"status of two digits":   "HTTP/1.1 20 OK" + rest,
		"status of four digits":  "HTTP/1.1 2000 OK" + rest,
		"status with a sign":     "HTTP/1.1 +20 OK" + rest,
		"version 9.9":            "HTTP/9.9 200 OK" + rest,
		"version 1.2":            "HTTP/1.2 200 OK" + rest,
		"version in lower case":  "http/1.1 200 OK" + rest,
	}
}
