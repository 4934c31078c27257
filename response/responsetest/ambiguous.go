package responsetest

import "fmt"

// Ambiguous returns answers with the given fields, lines that end with CRLF each, and the
// given body, of which some readers take other bytes than others. The keys describe them.
func Ambiguous(fields, body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	answer := func(line, framing, rest string) string { return line + fields + framing + "\r\n" + rest }
	return map[string]string{
		"chunks in version 1.0":                answer("HTTP/1.0 200 OK\r\n", "Transfer-Encoding: chunked\r\n", chunks),
		"chunks and length in version 1.8":     answer("HTTP/1.8 200 OK\r\n", "Transfer-Encoding: chunked\r\ncontent-length:3\r\n", chunks),
		"codings and length in version 1.8":    answer("HTTP/1.8 200 OK\r\n", "Transfer-Encoding: gzip, chunked\r\n"+length, body),
		"identity and length in version 1.0":   answer("HTTP/1.0 200 OK\r\n", "Transfer-Encoding: identity\r\n"+length, body),
		"unknown coding, length, version 1.8":  answer("HTTP/1.8 200 OK\r\n", "Transfer-Encoding: unknown\r\n"+length, body),
		"length beside chunks":                 answer(ok, length+"Transfer-Encoding: chunked\r\n", chunks),
		"two lengths":                          answer(ok, length+"Content-Length: 1\r\n", body),
		"the same length twice":                answer(ok, length+length, body),
		"a space before the colon of a length": answer(ok, fmt.Sprintf("Content-Length : %d\r\n", len(body)), body),
		"a length on a continued line":         answer(ok, "A: b\r\n "+length, body),
		"a line that ends with LF":             answer(ok, "A: b\n"+length, body),
		"204 with a length":                    answer("HTTP/1.1 204 No Content\r\n", length, body),
		"a chunk size that ends with LF":       answer(ok, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\n%s\r\n0\r\n\r\n", len(body), body)),
		"a chunk size beyond the integers":     answer(ok, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("1%016x\r\n%s\r\n0\r\n\r\n", len(body), body)),
		"a trailer with a length":              answer(ok, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nContent-Length: 1\r\n\r\n", len(body), body)),
	}
}
