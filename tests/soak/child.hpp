// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_CHILD_HPP_INCLUDED
#define COURSEHEAD_SOAK_CHILD_HPP_INCLUDED

#include <sys/types.h>

#include <string>
#include <vector>

namespace coursehead::soak {

//! A process that the soak starts; the destructor kills it by its process id.
class Child {
public:
    Child( std::vector<std::string> command, std::string settingsFile, std::string logFile );
    ~Child();
    Child( const Child& ) = delete;
    Child& operator=( const Child& ) = delete;

    void start();
    void signal( int number ) const;
    //! True while the process runs; reaps the process once it has ended.
    bool running();
    //! Number of times that the process was started.
    int starts() const { return m_starts; }
    //! Peak resident memory of the process in kilobytes; 0 if the process does not run.
    long peakKb() const;

private:
    std::vector<std::string> m_command;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = -1;
    int m_starts = 0;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_CHILD_HPP_INCLUDED
