#include "driver.hpp"
// Parsing of HTTP replies: complete, truncated, malformed, too large, and in pieces of different sizes.
#include "http_reply.hpp"

void show(const char* what, const std::string& bytes, std::size_t step = 1000) {
  HttpReply reply("Op-Not-Begun", 64);
  for (std::size_t at = 0; at < bytes.size(); at += step)
    reply.feed(std::string_view(bytes).substr(at, step));
  const char* state = reply.state() == HttpReply::State::complete    ? "complete"
                      : reply.state() == HttpReply::State::malformed ? "malformed"
                                                                     : "incomplete";
  if (reply.state() != HttpReply::State::complete) return void(std::printf("%s: %s\n", what, state));
  std::printf("%s: %s, %d, \"%s\", header \"%s\", %s\n", what, state, reply.status(), reply.body().c_str(),
              reply.header().c_str(), reply.keep_alive() ? "kept open" : "to be closed");
}

int main() {
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  show("a reply", ok);
  show("a reply, byte by byte", ok, 1);
  show("truncated body", ok.substr(0, ok.size() - 1));
  show("truncated header", ok.substr(0, 20));
  show("with extra bytes", ok + "x");
  show("not begun", "HTTP/1.1 503 Busy\r\nop-not-begun: 1\r\nContent-Length: 0\r\n\r\n", 3);
  show("not begun, truncated", "HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 4\r\n\r\nno");
  show("another header", "HTTP/1.1 503 Busy\r\nOp-Not-Begun-At: 1\r\nContent-Length: 0\r\n\r\n");
  show("connection to be closed", "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  show("chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 4);
  show("without a length", "HTTP/1.1 200 OK\r\n\r\nabc");
  show("without a body", "HTTP/1.1 204 No Content\r\n\r\n");
  show("after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + ok);
  show("body too large", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'));
  show("header too large", "HTTP/1.1 200 OK\r\nX: " + std::string(9000, 'x') + "\r\n\r\n", 100);
  show("invalid length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello");
  show("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello");
  show("not HTTP", "hello\r\n\r\n");
  show("invalid status", "HTTP/1.1 abc OK\r\n\r\n");
}
