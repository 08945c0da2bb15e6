// Package headtest has malformed responses for tests of programs that read responses.
package headtest

// Malformed returns responses with a malformed head, by what is malformed. fields are the header
// fields of a response that would count, each with its line end, and body is its body.
func Malformed(fields, body string) map[string]string {
	rest := "\r\n" + fields + "\r\n" + body
	responses := map[string]string{
		"status 000":                    "HTTP/1.1 000 OK" + rest,
		"status 000, no reason":         "HTTP/1.1 000" + rest,
		"status 000 of HTTP/1.0":        "HTTP/1.0 000 OK" + rest,
		"status 000 after 103":          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK" + rest,
		"status 099":                    "HTTP/1.1 099 X" + rest,
		"status 600":                    "HTTP/1.1 600 X" + rest,
		"status 999":                    "HTTP/1.1 999 X" + rest,
		"status of two digits":          "HTTP/1.1 20 OK" + rest,
		"status of four digits":         "HTTP/1.1 2000 OK" + rest,
		"status with a sign":            "HTTP/1.1 +20 OK" + rest,
		"version 9.9":                   "HTTP/9.9 200 OK" + rest,
		"version 1.2":                   "HTTP/1.2 200 OK" + rest,
		"version in lower case":         "http/1.1 200 OK" + rest,
		"chunks of HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + rest,
		"control byte in the reason":    "HTTP/1.1 200 O\x00K" + rest,
		"carriage return in the reason": "HTTP/1.1 200 OK\rX: y" + rest,
	}
	for name, line := range malformedLines {
		responses[name+" first"] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields + "\r\n" + body
		responses[name+" last"] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n\r\n" + body
	}
	return responses
}

// malformedLines are lines that are no header fields, by what is malformed.
var malformedLines = map[string]string{
	"blank in a name":            "X-Ba d: v",
	"blank before the colon":     "X-Bad : v",
	"blank before a name":        " X-Bad: v",
	"tab before a name":          "\tX-Bad: v",
	"continued line":             " v",
	"tab in a name":              "X-Ba\td: v",
	"tab before the colon":       "X-Bad\t: v",
	"control byte 00 in a name":  "X-Ba\x00d: v",
	"control byte 01 in a name":  "X-Ba\x01d: v",
	"control byte 1b in a name":  "X-Ba\x1bd: v",
	"control byte 7f in a name":  "X-Ba\x7fd: v",
	"carriage return in a name":  "X-Ba\rd: v",
	"line feed in a name":        "X-Ba\nd: v",
	"separator in a name":        "X-Ba(d: v",
	"byte above 7f in a name":    "X-Ba\x80d: v",
	"empty name":                 ": v",
	"no colon":                   "X-Bad",
	"control byte 00 in a value": "X-Bad: \x00",
	"carriage return in a value": "X-Bad: v\rw",
}
