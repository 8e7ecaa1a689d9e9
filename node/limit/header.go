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

// startFirst starts the first header of a connection.
func (s *headerScan) startFirst() {
	*s = headerScan{active: true, isFirst: true}
}

// startNext starts a further header.
func (s *headerScan) startNext() {
	*s = headerScan{active: !s.http2, http2: s.http2}
}

// cost returns the memory that the header takes.
func (s *headerScan) cost() int64 {
	return headerCost(s.bytes, s.lines)
}

func headerCost(text, fields int64) int64 {
	return text*textFactor + fields*fieldBytes
}

// feed counts the next bytes until the end of the header and returns those that follow it.
func (s *headerScan) feed(p []byte) (rest []byte) {
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
	return p
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
