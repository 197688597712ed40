package yuccajsonc

import (
	"bytes"
	"fmt"
)

// maxNesting is how deep objects and lists may be nested, as in encoding/json. The parser
// recurses, and a goroutine whose stack is full ends the process.
const maxNesting = 10_000

// checkNesting reports the first value that is nested too deep. It returns false if there
// is one.
func (d *Document) checkNesting() bool {
	depth := 0
	for i := 0; i < len(d.text); i++ {
		switch d.text[i] {
		case '{', '[':
			depth++
			if depth > maxNesting {
				d.reportAt(i, "", "is nested too deep", fmt.Sprintf("%d levels at most", maxNesting))
				return false
			}
		case '}', ']':
			depth--
		case '"':
			i = endOfString(d.text, i)
		case '/':
			i = endOfComment(d.text, i)
		}
	}
	return true
}

// endOfString returns the offset of the last byte of the string that begins at i.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment that begins at i, or i
// if there is none.
func endOfComment(text []byte, i int) int {
	rest := text[i:]
	end := ""
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(rest[2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}
