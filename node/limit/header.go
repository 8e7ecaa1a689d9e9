package limit

import "bytes"

// headerScan counts the bytes and lines of a header while it is being read.
type headerScan struct {
	active  bool // a header is expected or incomplete
	bytes   int64
	lines   int64
	hasText bool   // the current line is not empty
	first   []byte // start of the first line of a connection
	isFirst bool   // no line of the connection is complete
	http2   bool   // the connection is HTTP/2
}

// preface is the first line of an HTTP/2 connection.
const preface = "PRI * HTTP/2.0"

// minFieldBytes is the length of the shortest line of a header: a name, a colon and CRLF.
const minFieldBytes = 4

// start starts a header of which net/http has already read some bytes with other data. Their
// lines are not known, so the largest possible number is counted.
func (s *headerScan) start(alreadyRead int64) {
	*s = headerScan{active: !s.http2, http2: s.http2, isFirst: s.bytes == 0 && s.lines == 0 && alreadyRead == 0}
	s.bytes, s.lines = alreadyRead, alreadyRead/minFieldBytes
}

// cost returns the memory that the header takes.
func (s *headerScan) cost() int64 {
	return headerCost(s.bytes, s.lines)
}

func headerCost(text, fields int64) int64 {
	return text*textFactor + fields*fieldBytes
}

// feed counts the next bytes until the end of the header.
func (s *headerScan) feed(p []byte) {
	for len(p) > 0 && s.active {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		s.bytes += int64(len(p) - len(rest))
		s.detectHTTP2(line)
		if len(line) > 1 || len(line) == 1 && line[0] != '\r' {
			s.hasText = true
		}
		if complete {
			s.endLine()
		}
		p = rest
	}
}

func (s *headerScan) endLine() {
	s.isFirst = false
	if s.http2 || !s.hasText && s.lines > 0 {
		s.active = false
		return
	}
	s.lines++
	s.hasText = false
}

// detectHTTP2 collects the first line of the connection.
func (s *headerScan) detectHTTP2(line []byte) {
	if !s.isFirst || len(s.first) >= len(preface) {
		return
	}
	s.first = append(s.first, line[:min(len(line), len(preface)-len(s.first))]...)
	s.http2 = string(s.first) == preface
}
