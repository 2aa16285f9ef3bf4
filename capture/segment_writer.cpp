#include "segment_writer.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <mutex>
#include <sys/stat.h>
#include <unistd.h>

namespace cometshift {

namespace {

constexpr std::string_view ending_of_names = ".capture";
constexpr auto shutdown_timeout =
    std::chrono::milliseconds(500); // if the disk blocks; shorter than any kill timeout
constexpr int folder_mode = 0700;   // recordings are readable by the server's user only
constexpr int file_mode = 0600;

// Starts a thread that blocks all signals, so that they are handled by the thread of the event loop.
template <class Run>
std::thread start_without_signals(Run run) {
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  std::thread thread(std::move(run));
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  return thread;
}

class FolderStorage final : public SegmentStorage {
  std::filesystem::path folder_;
  int fd_ = -1;
  std::string reason_;

  bool failed(const char* what) {
    reason_ = std::string(what) + ": " + std::strerror(errno);
    return false;
  }

 public:
  explicit FolderStorage(const std::string& folder) : folder_(folder) {}
  ~FolderStorage() override { close(); }
  bool open(const std::string& name) override {
    close();
    ::mkdir(folder_.c_str(), folder_mode);
    fd_ = ::open((folder_ / name).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, file_mode);
    return fd_ >= 0 || failed("open");
  }
  bool write(const std::string& bytes) override {
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t n = ::write(fd_, bytes.data() + done, bytes.size() - done);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return failed("write");
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  void close() override {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool remove(const std::string& name) override {
    return ::unlink((folder_ / name).c_str()) == 0 || errno == ENOENT || failed("remove");
  }
  std::vector<std::pair<std::string, std::uint64_t>> list() override {
    std::vector<std::pair<std::string, std::uint64_t>> found;
    std::error_code error;
    for (const auto& one : std::filesystem::directory_iterator(folder_, error))
      if (one.is_regular_file(error)) found.emplace_back(one.path().filename(), one.file_size(error));
    std::sort(found.begin(), found.end());
    return found;
  }
  std::string reason() const override { return reason_; }
};

} // namespace

std::unique_ptr<SegmentStorage> folder_storage(const std::string& folder) {
  return std::make_unique<FolderStorage>(folder);
}

struct SegmentWriter::Work {
  struct Chunk {
    std::string name; // of a new segment; empty: continues the last one
    std::string bytes;
  };

  std::unique_ptr<SegmentStorage> files;
  std::string prefix;
  Limits limits;
  SegmentRetention retention; // used by the writer thread only
  bool broken = false;        // used by the writer thread only: the open segment failed, skip its chunks

  std::mutex lock;
  std::condition_variable wake, idle;
  std::deque<Chunk> queue;
  std::size_t queued = 0; // bytes, including the chunk being written
  bool ending = false, ended = false;
  bool failed = false; // the last queued segment has failed
  std::string failure;
  std::atomic<std::uint64_t> written{0}, failures{0}, removed{0}, longest_write{0};

  Work(std::unique_ptr<SegmentStorage> f, std::string p, Limits b)
      : files(std::move(f)), prefix(std::move(p)), limits(b), retention(b.total_bytes) {}
  bool take(Chunk chunk, bool new_segment);
  void run();
  void write(Chunk chunk);
  bool make_room(std::uint64_t bytes);
  void fail(const std::string& reason);
};

SegmentWriter::SegmentWriter(std::unique_ptr<SegmentStorage> files, std::string prefix, Limits limits)
    : work_(std::make_shared<Work>(std::move(files), std::move(prefix), limits)),
      thread_(start_without_signals([work = work_] { work->run(); })) {}

SegmentWriter::~SegmentWriter() {
  std::unique_lock hold(work_->lock);
  work_->ending = true;
  work_->wake.notify_all();
  const bool ended = work_->idle.wait_for(hold, shutdown_timeout, [this] { return work_->ended; });
  hold.unlock();
  ended ? thread_.join() : thread_.detach();
}

// ---- event loop side

bool SegmentWriter::Work::take(Chunk chunk, bool new_segment) {
  {
    const std::lock_guard hold(lock);
    if (!new_segment && failed) return false;
    if (queued + chunk.bytes.size() > limits.queue_bytes) {
      failure = "its queue is full";
      return false;
    }
    queued += chunk.bytes.size();
    if (new_segment) failed = false;
    queue.push_back(std::move(chunk));
  }
  wake.notify_one();
  return true;
}
bool SegmentWriter::begin(const std::string& name, std::string bytes) {
  return work_->take({name, std::move(bytes)}, true);
}
bool SegmentWriter::put(std::string bytes) { return work_->take({{}, std::move(bytes)}, false); }

std::string SegmentWriter::failure() const {
  const std::lock_guard hold(work_->lock);
  return work_->failure;
}
std::uint64_t SegmentWriter::written() const { return work_->written; }
std::uint64_t SegmentWriter::queued() const {
  const std::lock_guard hold(work_->lock);
  return work_->queued;
}
std::uint64_t SegmentWriter::failures() const { return work_->failures; }
std::uint64_t SegmentWriter::removed() const { return work_->removed; }
std::uint64_t SegmentWriter::longest_write() const { return work_->longest_write; }
void SegmentWriter::drain() {
  std::unique_lock hold(work_->lock);
  work_->idle.wait(hold, [this] { return work_->queued == 0; });
}

// ---- writer thread

void SegmentWriter::Work::run() {
  for (const auto& [name, bytes] : files->list())
    if (name.starts_with(prefix) && name.ends_with(ending_of_names)) retention.found(name, bytes);
  std::unique_lock hold(lock);
  for (;;) {
    wake.wait(hold, [this] { return ending || !queue.empty(); });
    if (queue.empty()) break;
    Chunk chunk = std::move(queue.front());
    queue.pop_front();
    const std::size_t size = chunk.bytes.size();
    hold.unlock();
    write(std::move(chunk));
    hold.lock();
    queued -= size;
    if (queued == 0) idle.notify_all();
  }
  files->close();
  ended = true;
  idle.notify_all();
}

void SegmentWriter::Work::fail(const std::string& reason) {
  broken = true;
  files->close();
  ++failures;
  const std::lock_guard hold(lock);
  failure = reason;
  // A segment queued in the meantime is not affected.
  failed = std::none_of(queue.begin(), queue.end(), [](const Chunk& chunk) { return !chunk.name.empty(); });
}

bool SegmentWriter::Work::make_room(std::uint64_t bytes) {
  while (const auto oldest = retention.to_remove(bytes)) {
    if (!files->remove(*oldest)) return fail(files->reason()), false;
    retention.removed();
    ++removed;
  }
  return retention.fits(bytes) || (fail("one segment exceeds the total size limit"), false);
}

void SegmentWriter::Work::write(Chunk chunk) {
  const auto from = std::chrono::steady_clock::now();
  if (!chunk.name.empty()) {
    broken = false;
    if (!files->open(chunk.name)) return fail(files->reason());
    retention.opened(chunk.name);
  }
  const bool first = !chunk.name.empty();
  if (broken) return;
  const bool room = make_room(chunk.bytes.size());
  // A failed write leaves a partial block at the end of the file, where readers stop. If the first write of a
  // segment fails, its file is deleted.
  if (room) retention.grew(chunk.bytes.size());
  if (!room || !files->write(chunk.bytes)) {
    if (room) fail(files->reason());
    if (first && files->remove(chunk.name)) retention.withdrawn();
    return;
  }
  written += chunk.bytes.size();
  const auto took =
      std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - from);
  longest_write = std::max<std::uint64_t>(longest_write, static_cast<std::uint64_t>(took.count()));
}

} // namespace cometshift
